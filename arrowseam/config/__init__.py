"""What a proxy is told: settings, lists of servers, and the operator file."""
