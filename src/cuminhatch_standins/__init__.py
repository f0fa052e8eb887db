"""Stand-in programs for the backend servers and the platform services."""
