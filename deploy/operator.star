# The operator file: what our installations set up beyond the platform's configuration. It is Starlark, evaluated in a
# process of its own at the start and at SIGHUP:
#
#     python -m arrowseam serve --config config.json --operator deploy/operator.star
#     python -m arrowseam check-config --config config.json --operator deploy/operator.star
#     python -m arrowseam config schema          # every function and field
#
# Each function may be called from helper functions and loops; load("other.star", "name") reads a file beside this one.
# Everything is off until it is called. On the platform nothing of this is set.

# Servers and weights from files that scripts rewrite: write beside it, rename. A file is the directory's list
# (instanceId, hostPort, zone, machineType, lifecycle, weight, startedAtMs), taken whole or not at all.
#
# servers(
#     file = "servers.json",     # relative to this file
#     name = "changeover",       # at control and in the log
#     rank = 10,                 # over the directory, which has 0
#     max_removed = 0.5,         # a version that drops more of the ready weight is refused
#     settle_ms = 500,           # a server on its way from one file to another does not drain
#     drain_s = 30,              # a removed server drains so long before it is gone
# )

# The last good lists outlive the process here: a lasting folder, writable by the proxy alone.
#
# state_dir("/var/lib/arrowseam")

# The second front; all that deploy/nats.json says.
#
# nats(
#     listen = "127.0.0.1:4222",
#     server_port = 4223,
#     users = {"technician": {"class": "tech-orders", "tenant": "bluebonnet-ridge"}},
#     default = {"class": "resident-notices"},
# )

# Proxies that may talk to each other keep a view of themselves and share cordons; only where nobody else reaches the port.
#
# fleet(
#     listen = "10.0.0.4:7000",
#     seeds = ["10.0.0.4:7000", "10.0.0.5:7000"],
#     name = "houston",
# )

# Lines for people, or JSON for machines.
#
# log(format = "json", level = "info")

# Who may be out, agreed among proxies that keep a view of themselves; docs/operators/releases.md.
#
# agree(voters = {"n0": "10.0.0.4:7000", "n1": "10.0.0.5:7000", "n2": "10.0.0.6:7000"})
# budgets(proxies = 1, servers = 0.1, least_ready = 0.7)
