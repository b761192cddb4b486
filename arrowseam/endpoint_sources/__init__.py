"""Sources of endpoints, watched files and the discovery service, and their merging into one list."""
