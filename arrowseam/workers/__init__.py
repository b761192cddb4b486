"""Child processes for work that may block or take long."""
