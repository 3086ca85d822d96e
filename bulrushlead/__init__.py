"""Global traffic steering: host look-up, routing, limits and replicated state."""

__all__ = ["__version__"]

__version__ = "0.1.0"
