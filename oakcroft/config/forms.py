"""The schema of every form of the language. The checker, the reference page and completion are derived from these."""

from __future__ import annotations

from oakcroft.config.schema import (
    NAME_TYPE, NUMBER_TYPE, PACE_TYPE, RATE_TYPE, SIZE_TYPE, TEXT_TYPE, TIME_TYPE, INTEGER_TYPE, Field, Schema, choice_type,
)  # fmt: skip
from oakcroft.config.value_types import (
    ADDRESS_TYPE, ICE_SERVER_TYPE, PATH_TYPE, SECRET_TYPE, SHARE_TYPE, TITLE_TYPE,
)  # fmt: skip
from oakcroft.interface import MS, SECOND

MAX_VALUES = 10_000
"""Bound on the values of one field that may have many."""

EFFECTS = ("free", "keyed", "paid")

FRONT = Schema(
    "front", "Settings of one front end; given once, in the file that the front end is started with.",
    (
        Field("number", "number of this front end, from 0", INTEGER_TYPE, 0),
        Field("zone", "wing that this front end is in; with (zone …) forms, its zone", NAME_TYPE, ""),
        Field("listen", "address on which it accepts viewers", ADDRESS_TYPE, required=True),
        Field("list-service", "address of the list service, which supplies the node list", ADDRESS_TYPE, required=True),
        Field("kept", "file that caches the last node list; none: it is not kept across restarts", TEXT_TYPE, ""),
        Field("state", "file that preserves promises, seats and the node list across a crash; none: they are not kept across restarts", TEXT_TYPE, ""),
        Field("state-sync", "whether a commit to the state file waits until it is synced to disk", choice_type("answer", ("yes", "no")), "yes"),
        Field("seed", "seed of the front end's random number generators", INTEGER_TYPE, 1),
        Field("log", "format of log lines", choice_type("log format", ("json", "console")), "json"),
    ),
)  # fmt: skip
TRIES_BUDGET = Schema(
    "tries-budget", "Rule 6: limits the setup tries after the first one of each playback.",
    (
        Field("free", "number of further tries allowed in any window", NUMBER_TYPE, required=True),
        Field("share", "additional tries allowed for each playback accepted in the window", SHARE_TYPE, required=True),
        Field("window", "length of the window", TIME_TYPE, required=True, minimum=1, usual_range=(100 * MS, 600 * SECOND, "a budget over milliseconds or hours has little effect")),
    ),
)  # fmt: skip
FLEET = Schema(
    "fleet", "Properties of the nodes and parameters of the rules, the same on all front ends. A change requires a restart.",
    (
        Field("fronts", "number of front ends", INTEGER_TYPE, 1, minimum=1),
        Field("wings", "names of the wings", NAME_TYPE, (), max_values=MAX_VALUES),
        Field("kinds", "node kinds that occur in the node list", NAME_TYPE, (), max_values=MAX_VALUES),
        Field("cells", "number of cells, the groups of nodes over which titles are distributed", INTEGER_TYPE, required=True, minimum=1),
        Field("racks", "number of racks; the rack of a node is its cell modulo this number", INTEGER_TYPE, 1, minimum=1),
        Field("uplink", "mean uplink capacity of a rack; 0kB/s: no limit", RATE_TYPE, 0.0),
        Field("copies", "number of cells that hold a title; 0: all", INTEGER_TYPE, 0),
        Field("join-adds", "share of a stream's rate that each further viewer of a live title adds", SHARE_TYPE, 1.0),
        Field("seen-after", "delay of load reports from nodes", TIME_TYPE, SECOND, usual_range=(0, 30 * SECOND, "load reports with a longer delay are useless")),
        Field("reports-every", "interval between load reports of a node", TIME_TYPE, 3 * SECOND, usual_range=(100 * MS, 60 * SECOND, "the decision module's interval is one second")),
        Field("most-tries", "maximum number of setup tries for a playback", INTEGER_TYPE, 3, minimum=1, usual_range=(1, 10, "each try costs time")),
        Field("stay-away-most", "maximum Retry-After in responses; 0s: the header is not sent", TIME_TYPE, 0, usual_range=(0, 60 * SECOND, "viewers have left by then")),
        Field("cold-share", "share of its full setup rate that a node can handle when it starts", SHARE_TYPE, 0.4),
        Field("cold-for", "time that a node is cold after its start", TIME_TYPE, 10 * SECOND, usual_range=(0, 3600 * SECOND, "nodes warm up within seconds")),
        Field("fall-multiple", "setup rate that overloads a cold node, as a multiple of the setup rate that it can handle at that time", NUMBER_TYPE, 2.5, minimum=1),
        Field("fall-window", "window over which that rate is measured", TIME_TYPE, SECOND, minimum=1, usual_range=(100 * MS, 60 * SECOND, "the rule works in seconds")),
        Field("drain-grace", "rule 3: no set-up is sent to a node later than this after it starts to drain", TIME_TYPE, SECOND, usual_range=(0, 60 * SECOND, "")),
        Field("usual-notice", "assumed time from a node's drain notice to its end, until it has been learned from observed drains", TIME_TYPE, 3 * SECOND, usual_range=(200 * MS, 3600 * SECOND, "")),
        Field("tries-budget", TRIES_BUDGET.doc, subform=TRIES_BUDGET),
    ),
)  # fmt: skip
LADDER = Schema(
    "ladder", "Quality rungs, lowest first. A change requires a restart.",
    (
        Field("rates", "stream rate of each rung", RATE_TYPE, required=True, max_values=64, usual_range=(1, 1e6, "video streams use kB/s to MB/s")),
        Field("worth", "share of a plan's revenue that is earned at each rung", NUMBER_TYPE, required=True, max_values=64),
    ),
)  # fmt: skip
PLAN = Schema(
    "plan", "Terms of a plan. A change does not apply to playbacks that were already accepted.",
    (
        Field("effect", "effect of a repeated set-up: none (free), none while its key is valid (keyed), charged twice (paid)",
              choice_type("effect", EFFECTS), required=True),
        Field("startup-target", "time within which playback should start", TIME_TYPE, required=True, minimum=1, usual_range=(50 * MS, 30 * SECOND, "viewers wait seconds, not minutes")),
        Field("abandon", "time after which the viewer abandons the request", TIME_TYPE, required=True, minimum=1, usual_range=(200 * MS, 120 * SECOND, "viewers wait seconds, not minutes")),
        Field("revenue", "revenue per second of playback at a rung of worth 1", NUMBER_TYPE, required=True, minimum=0),
        Field("floor", "lowest rung that a playback may use", INTEGER_TYPE, 0),
        Field("top", "highest rung that a playback may use; none: the ladder's highest", INTEGER_TYPE),
        Field("seats", "maximum number of concurrent playbacks of one title on a front end; 0: no limit", INTEGER_TYPE, 0),
        Field("rate-factor", "factor that is applied to the ladder's rates for this plan", NUMBER_TYPE, 1.0, minimum=0.001, usual_range=(0.05, 20, "")),
        Field("key-lasts", "time for which a repeated set-up is recognised by its key", TIME_TYPE, 5 * SECOND),
        Field("group", "nodes that recognise the key: all, or those of the same zone (wing) or cell", choice_type("group", ("all", "zone", "cell")), "all"),
        Field("shares-stream", "whether viewers of the same title on a node share one stream", choice_type("answer", ("yes", "no")), "no"),
    ),
    NAME_TYPE, "the plan's name", "(plan open-lesson (effect free) (startup-target 1s) (abandon 5s) (revenue 1))",
)  # fmt: skip
POOL = Schema(
    "pool", "A set of nodes that routes can be restricted to. A node must meet every condition that is given.",
    (
        Field("wings", "nodes in one of these wings", NAME_TYPE, (), max_values=MAX_VALUES),
        Field("racks", "nodes in one of these racks", INTEGER_TYPE, (), max_values=MAX_VALUES),
        Field("kinds", "nodes of one of these kinds", NAME_TYPE, (), max_values=MAX_VALUES),
        Field("tags", "nodes that have all of these tags", NAME_TYPE, (), max_values=MAX_VALUES),
        Field("nodes", "nodes with these names; a replacement NAME+1 counts as NAME", NAME_TYPE, (), max_values=MAX_VALUES),
        Field("but", "nodes to exclude, by name", NAME_TYPE, (), max_values=MAX_VALUES),
    ),
    NAME_TYPE, "the pool's name", "(pool west-boxes (wings west))",
)  # fmt: skip
CLAIM_FIELD = Field(
    "claim", "a claim and its value", NAME_TYPE, (), min_values=2, max_values=2, is_repeatable=True
)
ROUTE = Schema(
    "route", "Assigns requests to a plan. If several routes match a request, the most specific one applies.",
    (
        Field("path", "path prefix that precedes the title", PATH_TYPE, required=True),
        Field("for", "which requests match: those of viewers (watch) or of publishers (publish)", choice_type("side", ("watch", "publish")), "watch"),
        Field("titles", "titles, or title prefixes followed by *; none: all", TITLE_TYPE, (), max_values=MAX_VALUES),
        Field("wing", "matches only on front ends in this wing; none: on all", NAME_TYPE, ""),
        Field("claim", "name and value of a claim that the request's token must have", NAME_TYPE, (), min_values=2, max_values=2, is_repeatable=True),
        Field("plan", "plan of the playbacks", NAME_TYPE, required=True),
        Field("pool", "pool of nodes that may be used; none: all nodes that hold the title", NAME_TYPE, ""),
        Field("top", "highest rung for requests of this route; none: the plan's highest", INTEGER_TYPE),
    ),
    NAME_TYPE, "the route's name", '(route open (path "/whep/open/") (plan open-lesson))',
)  # fmt: skip
LIMIT = Schema(
    "limit", "Limits the rate of new playbacks or the number of concurrent ones. Checked in this order: tokens, routes, plans, wings, all.",
    (
        Field("on", "what the limit applies to: token, route, plan or wing, followed by a name or * (each one separately), or all", NAME_TYPE, required=True, min_values=1, max_values=2),
        Field("rate", "maximum rate of new playbacks", PACE_TYPE, usual_range=(0.01, 100_000, "")),
        Field("burst", "maximum number of new playbacks at one moment; none: as many as the rate allows in one second", NUMBER_TYPE, minimum=1),
        Field("at-once", "maximum number of concurrent playbacks, including set-ups in progress", INTEGER_TYPE),
        Field("of", "whole: the limit applies to all front ends together; front: to each one separately", choice_type("scope", ("whole", "front")), "whole"),
    ),
    NAME_TYPE, "the limit's name", "(limit everyone (on all) (rate 200/s) (at-once 5000))",
)  # fmt: skip
TOKEN = Schema(
    "token", "A bearer token. If any token is defined, every request must carry one.",
    (
        Field("secret", "the bearer token", SECRET_TYPE, required=True),
        Field("claim", "name and value of a claim, which routes can require", NAME_TYPE, (), min_values=2, max_values=2, is_repeatable=True),
    ),
    NAME_TYPE, "the token's name", '(token portal (secret "…"))',
)  # fmt: skip
TITLE_FORM = Schema(
    "title", "Overrides the cells that hold one title.",
    (
        Field("home", "first cell that holds the title", INTEGER_TYPE, required=True),
        Field("copies", "number of consecutive cells that hold the title", INTEGER_TYPE, required=True, minimum=1),
    ),
    NAME_TYPE, "the title", "(title intro (home 0) (copies 6))",
)  # fmt: skip
SIGNALLING = Schema(
    "signalling", "Signalling between the front end and viewers.",
    (
        Field("ice-servers", "ICE servers that are announced to clients", ICE_SERVER_TYPE, (), max_values=32),
        Field("way-back", "part of each abandon time that is reserved for the answer's way to the viewer", TIME_TYPE, 40 * MS, usual_range=(1 * MS, 2 * SECOND, "it is subtracted from every abandon time")),
        Field("keep-keys", "time for which an answer is retained under its Idempotency-Key", TIME_TYPE, 300 * SECOND),
    ),
)  # fmt: skip
NODES = Schema(
    "nodes", "Timeouts of the front end's connections to nodes.",
    (
        Field("connect-within", "connect timeout", TIME_TYPE, 250 * MS, minimum=1, usual_range=(10 * MS, 5 * SECOND, "")),
        Field("silent-after", "time without received data after which an event stream is reopened", TIME_TYPE, 3 * SECOND, minimum=1),
        Field("lost-after", "time without received data after which the node's playbacks count as lost", TIME_TYPE, 8 * SECOND, minimum=1),
        Field("list-within", "maximum time that a starting front end waits for the list service before it listens", TIME_TYPE, 8 * SECOND),
    ),
)  # fmt: skip
CONNECTION_LIMITS = Schema(
    "door", "Limits on connections and requests of clients.",
    (
        Field("connections", "maximum number of concurrent connections", INTEGER_TYPE, 20_000, minimum=1),
        Field("connections-from-one", "maximum number of concurrent connections from one address", INTEGER_TYPE, 20_000, minimum=1),
        Field("waiting", "maximum number of requests that have not been answered yet", INTEGER_TYPE, 2_000, minimum=1),
        Field("head-bytes", "maximum size of a request head", SIZE_TYPE, 16_384, minimum=256),
        Field("headers", "maximum number of header lines in a request", INTEGER_TYPE, 64, minimum=1),
        Field("body-bytes", "maximum size of a request body", SIZE_TYPE, 65_536, minimum=256),
        Field("idle", "maximum idle time of a connection between two requests", TIME_TYPE, 30 * SECOND, minimum=1),
        Field("head-within", "timeout for reading a request head", TIME_TYPE, 5 * SECOND, minimum=1),
        Field("body-within", "timeout for reading a request body", TIME_TYPE, 5 * SECOND, minimum=1),
        Field("write-within", "timeout for writing to a client", TIME_TYPE, 5 * SECOND, minimum=1),
        Field("event-backlog", "maximum number of events that are queued for a slow reader", INTEGER_TYPE, 64, minimum=4),
    ),
)  # fmt: skip
SHUTDOWN = Schema(
    "stopping", "Shutdown of a front end.",
    (
        Field("drain-within", "time for which playbacks may continue", TIME_TYPE, 60 * SECOND),
        Field("leave-within", "timeout for ending the remaining playbacks on their nodes", TIME_TYPE, 5 * SECOND),
    ),
)  # fmt: skip
OPERATORS = Schema(
    "operators", "The operators' interface, under /operators/ on the front end's port. Without this form it is disabled.",
    (
        Field("secret", "bearer token that requests to it must carry", SECRET_TYPE, ""),
    ),
)  # fmt: skip
LEVEL_CHANGES = Schema(
    "levels", "Bounds on changes between levels of reduced service.",
    (
        Field("least", "minimum time in a level before the next change", TIME_TYPE, 10 * SECOND, minimum=1, usual_range=(SECOND, 3600 * SECOND, "viewers notice each change")),
        Field("hold", "time for which a signal must persist before it takes effect; up to five times as long on some front ends", TIME_TYPE, 2 * SECOND, minimum=1),
        Field("most-changes", "maximum number of changes in any window", INTEGER_TYPE, 6, minimum=2),
        Field("window", "length of the window", TIME_TYPE, 600 * SECOND, minimum=1),
        Field("strong", "a signal that exceeds its entry threshold by this factor takes effect at once", NUMBER_TYPE, 1.5, minimum=1),
    ),
)  # fmt: skip
ZONE_PREFERENCE = Schema(
    "preference", "Makes a front end prefer nodes in its own wing. Without this form no wing is preferred.",
    (
        Field("then", "other wings in order of preference; none: in the order that (fleet …) lists them", NAME_TYPE, (), max_values=MAX_VALUES),
        Field("most", "share of a wing's nodes that must be unavailable for the wing to count as unavailable", SHARE_TYPE, 0.6),
        Field("hold", "time for which the evidence must persist before the state of a wing changes", TIME_TYPE, 2 * SECOND),
        Field("spill", "maximum share of this front end's requests in any window that may go to other wings", SHARE_TYPE, 0.5),
        Field("window", "length of the window", TIME_TYPE, 10 * SECOND, minimum=1),
        Field("room", "mean load up to which another wing accepts such requests, and above which the own wing is full", NUMBER_TYPE, 0.9),
        Field("ramp", "time in which a lost wing that returns regains its share of requests; doubled each time it fails again", TIME_TYPE, 30 * SECOND, minimum=1),
        Field("longest", "upper bound of the ramp after repeated failures", TIME_TYPE, 300 * SECOND, minimum=1),
    ),
)  # fmt: skip
ENTRY_AND_EXIT = "entry and exit threshold"
PEERS = Schema(
    "peers", "Communication with the other front ends, the peers. Without this form there is none and no socket is opened for it.",
    (
        Field("name", "name of this front end among its peers; unique, and unchanged by a restart", NAME_TYPE, required=True),
        Field("listen", "address on which it accepts peers, both UDP and TCP", ADDRESS_TYPE, required=True),
        Field("advertise", "address that is announced to peers; none: the listen address", ADDRESS_TYPE),
        Field("seeds", "addresses of some peers, contacted at the start and while they are not visible", ADDRESS_TYPE, (), max_values=MAX_VALUES),
        Field("key-file", "file of the fleet's keys, 64 hexadecimal digits on each line; outgoing messages are authenticated with the first key, incoming ones with any of them", TEXT_TYPE, required=True),
        Field("fleet", "name of the fleet; messages of other fleets are dropped", NAME_TYPE, "oakcroft"),
        Field("starts", "file that stores the number of the last start; none: it is derived from the clock and the peers", TEXT_TYPE, ""),
    ),
)  # fmt: skip
ZONE = Schema(
    "zone", "A zone of a large fleet. All front ends list the same zones, and each names its own in (front (zone …)). A front end keeps the full membership of its own zone and a summary of the others.",
    (
        Field("region", "region of the zone", NAME_TYPE, required=True),
        Field("seeds", "addresses of some of its front ends, as their peers reach them", ADDRESS_TYPE, required=True, max_values=MAX_VALUES),
    ),
    NAME_TYPE, "the zone's name", '(zone north (region europe) (seeds "10.0.0.5:7946" "10.0.0.6:7946"))',
)  # fmt: skip
LEASE_ACCEPTORS = Schema(
    "keepers", "The front ends that grant leases of the fleet's duties (lease acceptors); a duty has one lease holder at a time. The same on all front ends.",
    (
        Field("names", "peer names of the lease acceptors; a majority must be available: two of three, three of five", NAME_TYPE, required=True, max_values=7),
        Field("term", "duration of a lease; a duty is without a lease holder for at most twice this time", TIME_TYPE, 6 * SECOND, minimum=SECOND),
    ),
)  # fmt: skip
SESSION_TAKEOVER = Schema(
    "adopting", "Session takeover: the playbacks of a failed front end are taken over by its peers. The same on all front ends.",
    (
        Field("after", "delay after the peers detect the failure", TIME_TYPE, SECOND),
        Field("lease", "time for which nodes keep the sessions of a silent front end; longer than the failure detection takes, at most 30s", TIME_TYPE, 15 * SECOND, minimum=SECOND),
        Field("most", "maximum number of playbacks taken over that a front end holds at once", INTEGER_TYPE, 1_000, minimum=1),
    ),
)  # fmt: skip
LOAD_PROBING = Schema(
    "probing", "The load of each node is probed by one front end and shared with its peers. The same on all front ends.",
    (
        Field("every", "interval between two load probes of a node; longer in a fleet of more than a hundred nodes", TIME_TYPE, 2500 * MS, minimum=500 * MS),
    ),
)  # fmt: skip
SERVICE_LEVEL = Schema(
    "level", "A level of reduced service: entered when one of its signals exceeds its entry threshold, left when all are below their exit thresholds.",
    (
        Field("rank", "position in the order of levels, from 1; a higher level reduces service more", INTEGER_TYPE, required=True, minimum=1),
        Field("x", f"x, the load of all links, as the mode log lines report it: {ENTRY_AND_EXIT}", NUMBER_TYPE, (), min_values=2, max_values=2),
        Field("blind", f"share of the nodes that do not report their load: {ENTRY_AND_EXIT}", SHARE_TYPE, (), min_values=2, max_values=2),
        Field("refused", f"share of recent answers that were rejections: {ENTRY_AND_EXIT}", SHARE_TYPE, (), min_values=2, max_values=2),
        Field("late", f"share of recent revenue whose requests were not answered within their startup target: {ENTRY_AND_EXIT}", SHARE_TYPE, (), min_values=2, max_values=2),
        Field("lag", f"lag of the front end's event loop: {ENTRY_AND_EXIT}", TIME_TYPE, (), min_values=2, max_values=2),
        Field("top", "highest rung of new playbacks; none: no limit", INTEGER_TYPE),
        Field("admits", "a plan, and the share of its requests that is admitted", NAME_TYPE, (), min_values=2, max_values=2, is_repeatable=True),
        Field("moves", "whether new moves of playbacks are started", choice_type("answer", ("yes", "no")), "yes"),
        Field("upkeep", "whether background work continues", choice_type("answer", ("yes", "no")), "yes"),
    ),
    NAME_TYPE, "the level's name", "(level careful (rank 1) (x 1.05 0.9) (top 2))",
)  # fmt: skip
SIGNAL_FIELDS = ("x", "blind", "refused", "late", "lag")
SINGLE_FORMS = (
    FRONT,
    FLEET,
    LADDER,
    SIGNALLING,
    NODES,
    CONNECTION_LIMITS,
    SHUTDOWN,
    OPERATORS,
    LEVEL_CHANGES,
    ZONE_PREFERENCE,
    PEERS,
    LEASE_ACCEPTORS,
    SESSION_TAKEOVER,
    LOAD_PROBING,
)
NAMED_FORMS = (PLAN, POOL, ROUTE, LIMIT, TOKEN, TITLE_FORM, SERVICE_LEVEL, ZONE)
SCHEMAS_BY_NAME = {schema.name: schema for schema in (*SINGLE_FORMS, *NAMED_FORMS)}
KEYWORDS = ("include", "define", "use")
