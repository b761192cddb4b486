"""What a fleet of any size costs, from recorded runs: fits, the table of a target, the page. No part of a
proxy."""
