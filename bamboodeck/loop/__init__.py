"""Run a single-threaded event loop."""

import sys

# circuits uses it only to declare a namespace for plug-ins and works without
# it. The import would take a third of the start-up time of an entry process.
sys.modules.setdefault('pkg_resources', None)
