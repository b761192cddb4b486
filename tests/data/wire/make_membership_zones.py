"""Writes ``membership_zones.json``: what a view with zones sends with a fixed seed, in the version that runs the script.

    PYTHONPATH=tests python tests/data/wire/make_membership_zones.py > tests/data/wire/membership_zones.json
"""

import json

from test_wire_bytes_membership import sent_frames

print(json.dumps(sent_frames("a"), indent=1))
