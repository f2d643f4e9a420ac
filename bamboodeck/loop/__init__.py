"""Run one event loop on one thread."""

import sys

# circuits asks for it only to declare a namespace for plug-ins, and goes on
# without; the import would take a third of an entry process's start.
sys.modules.setdefault('pkg_resources', None)
