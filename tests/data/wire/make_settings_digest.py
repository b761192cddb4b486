"""Writes settings_digest.json beside it; runs on the version before the settings were renamed in the code.

    cd CHECKOUT_OF_THAT_VERSION && python .../tests/data/wire/make_settings_digest.py > .../settings_digest.json
"""

import json
import sys

sys.path.insert(0, ".")

from arrowseam.config.proxy import read_config  # noqa: E402
from arrowseam.fleet.keeper import digest_of  # noqa: E402

CLASS = {"name": "tech", "aim": 300000, "deadline": 1800000, "effect": "retryable"}
BASE = {"lanes": [CLASS], "tenants": [{"name": "acme", "share": 1.0}], "zones": ["z"], "kinds": ["k"]}
SETTINGS = {
    "base": BASE,
    "another proxy": BASE | {"me": 3, "balancers": 5},
    "same count": BASE | {"me": 1, "balancers": 5},
    "classes": BASE
    | {
        "lanes": [
            CLASS | {"worth": 5, "effect": "dedup", "key_scope": "zone", "key_ttl": 4000000},
            CLASS | {"name": "b", "effect": "fragile", "key_scope": "cell"},
        ]
    },
    "all": BASE
    | {
        "caps": {"max_attempts": 5, "dial_timeout": 250000, "max_retry_after": 1500000, "retry_after": True,
                 "may_cancel": True, "second_copies": True, "probing": True, "peers": True},
        "invariants": {"grace_to_answer": 10000, "drain_grace": 2000000, "ask_within": 400000,
                       "cold_share": 0.12, "warm_up": 24000000, "fall_multiple": 4.0, "overload_for": 2000000},
        "prices": {"cross_zone": 0.02, "moves": 0.1, "probe": 0.002, "peer": 0.01, "waste": 0.3, "late_fail": 1},
        "family_info": {"groups": True, "tells_load": False, "tells_delay": True, "message_aim": [100000],
                        "tenant_quota_connections": [80, 7.5]},
        "tenants": [{"name": "acme", "share": 0.75, "quota_rps": 12}, {"name": "b", "share": 0.25}],
        "telemetry": {"fields": ["inflight", "x0"]},
        "registry_mode": "subscribe", "weights": "live", "over_share_worth": 0.5, "tick": 2000, "my_zone": 1,
        "zones": ["z", "y"],
    },
}
FORM = {"name": "n0", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "seed": "1"}

rows = {}
for name, settings in SETTINGS.items():
    document = FORM | {"settings": settings}
    rows[name] = {"config": document, "digest": digest_of(read_config(json.dumps(document).encode()))}
print(json.dumps(rows, indent=1))
