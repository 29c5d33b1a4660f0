"""Relay requests of callers to model runners and plain services."""
