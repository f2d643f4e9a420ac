"""Route requests to model versions at the lowest cost that meets the target."""

__version__ = '0.1.0'
