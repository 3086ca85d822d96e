"""Global traffic steering: look-ups, routing, limits and replicated state."""

__all__ = ["__version__"]

__version__ = "0.1.0"
