"""Route requests to models that are split over mixed accelerators."""

__version__ = '0.1.0'
