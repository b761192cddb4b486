"""The configuration of a proxy: settings, the initial list of endpoints, and the operator file."""
