# For examples/toy_servers.py: takes the two toy servers from a file instead of discovery.
#
#     python -m arrowseam serve --config examples/config.json --operator examples/operator.star

def changeover(names):
    for rank, name in enumerate(names):
        servers(file = name + ".json", name = name, rank = 10 + rank, max_removed = 0.6)

changeover(["servers"])
log(level = "info")
