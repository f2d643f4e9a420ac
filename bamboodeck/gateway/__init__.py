"""Forward opaque requests to the backend servers of a platform."""
