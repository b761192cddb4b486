"""One proxy: assembles the parts of the program, reloads settings, and takes part in hot restarts."""
