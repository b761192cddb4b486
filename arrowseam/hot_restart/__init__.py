"""Hot restart: a new process of a proxy takes over from the old one while both serve."""
