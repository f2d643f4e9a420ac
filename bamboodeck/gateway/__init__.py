"""Pass opaque requests on to the backend servers of a platform."""
