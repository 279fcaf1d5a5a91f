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
    "front", "This front's own place; one a file, in the file that a front is started with.",
    (
        Field("number", "which of the fronts this is, from 0", INTEGER_TYPE, 0),
        Field("zone", "the wing it stands in", NAME_TYPE, ""),
        Field("listen", "where viewers reach it", ADDRESS_TYPE, required=True),
        Field("list-service", "where the list of nodes is asked for", ADDRESS_TYPE, required=True),
        Field("kept", "file in which the last list is kept; none: a restart begins without", TEXT_TYPE, ""),
        Field("state", "file that keeps promises, seats and the list over a crash; none: a restart begins without", TEXT_TYPE, ""),
        Field("state-sync", "whether a commit to it waits for the disk", choice_type("answer", ("yes", "no")), "yes"),
        Field("seed", "of the front's random numbers", INTEGER_TYPE, 1),
        Field("log", "how log lines are written", choice_type("form of log", ("json", "console")), "json"),
    ),
)  # fmt: skip
TRIES_BUDGET = Schema(
    "tries-budget", "Rule 6: setup tries beyond each playback's first.",
    (
        Field("free", "so many in any window", NUMBER_TYPE, required=True),
        Field("share", "and so many for each playback taken in it", SHARE_TYPE, required=True),
        Field("window", "the window", TIME_TYPE, required=True, minimum=1, usual_range=(100 * MS, 600 * SECOND, "a budget over milliseconds or hours has little effect")),
    ),
)  # fmt: skip
FLEET = Schema(
    "fleet", "What all fronts share about the nodes and the rules' figures. A change needs a restart.",
    (
        Field("fronts", "how many fronts there are", INTEGER_TYPE, 1, minimum=1),
        Field("wings", "names of the wings", NAME_TYPE, (), max_values=MAX_VALUES),
        Field("kinds", "kinds of nodes that the list names", NAME_TYPE, (), max_values=MAX_VALUES),
        Field("cells", "places of nodes, by which titles are held", INTEGER_TYPE, required=True, minimum=1),
        Field("racks", "a node's rack is its cell modulo this", INTEGER_TYPE, 1, minimum=1),
        Field("uplink", "mean uplink of a rack; 0kB/s: none binds", RATE_TYPE, 0.0),
        Field("copies", "cells that hold a title; 0: all", INTEGER_TYPE, 0),
        Field("join-adds", "part of a stream's rate that a further viewer of a live title adds", SHARE_TYPE, 1.0),
        Field("seen-after", "how late a node's notes are", TIME_TYPE, SECOND, usual_range=(0, 30 * SECOND, "later load reports are useless")),
        Field("reports-every", "how often nodes tell of their load", TIME_TYPE, 3 * SECOND, usual_range=(100 * MS, 60 * SECOND, "the decision module's interval is one second")),
        Field("most-tries", "setup tries for a playback", INTEGER_TYPE, 3, minimum=1, usual_range=(1, 10, "each try costs time")),
        Field("stay-away-most", "longest Retry-After; 0s: none is named", TIME_TYPE, 0, usual_range=(0, 60 * SECOND, "viewers have left by then")),
        Field("cold-share", "share of its pace that a node begins with", SHARE_TYPE, 0.4),
        Field("cold-for", "how long a node warms up", TIME_TYPE, 10 * SECOND, usual_range=(0, 3600 * SECOND, "nodes warm up within seconds")),
        Field("fall-multiple", "times its present pace that pushes a cold node over", NUMBER_TYPE, 2.5, minimum=1),
        Field("fall-window", "over so long", TIME_TYPE, SECOND, minimum=1, usual_range=(100 * MS, 60 * SECOND, "the rule works in seconds")),
        Field("drain-grace", "rule 3: nothing new to a draining node later than this", TIME_TYPE, SECOND, usual_range=(0, 60 * SECOND, "")),
        Field("usual-notice", "how long a draining node stays, until drains have taught it", TIME_TYPE, 3 * SECOND, usual_range=(200 * MS, 3600 * SECOND, "")),
        Field("tries-budget", TRIES_BUDGET.doc, subform=TRIES_BUDGET),
    ),
)  # fmt: skip
LADDER = Schema(
    "ladder", "The rungs of quality, lowest first. A change needs a restart.",
    (
        Field("rates", "rate of each rung", RATE_TYPE, required=True, max_values=64, usual_range=(1, 1e6, "video streams use kB/s to MB/s")),
        Field("worth", "what each rung earns", NUMBER_TYPE, required=True, max_values=64),
    ),
)  # fmt: skip
PLAN = Schema(
    "plan", "What a plan was promised. What plays keeps the terms it was taken under.",
    (
        Field("effect", "what a repeated set-up would do: nothing (free), nothing while a key lasts (keyed), be paid twice (paid)",
              choice_type("effect", EFFECTS), required=True),
        Field("startup-target", "wanted playing within", TIME_TYPE, required=True, minimum=1, usual_range=(50 * MS, 30 * SECOND, "viewers wait seconds, not minutes")),
        Field("abandon", "given up after", TIME_TYPE, required=True, minimum=1, usual_range=(200 * MS, 120 * SECOND, "viewers wait seconds, not minutes")),
        Field("revenue", "of one second at a rung of worth 1", NUMBER_TYPE, required=True, minimum=0),
        Field("floor", "lowest rung that it may play on", INTEGER_TYPE, 0),
        Field("top", "highest rung; none: the ladder's", INTEGER_TYPE),
        Field("seats", "playbacks of one title that a front holds at most; 0: no limit", INTEGER_TYPE, 0),
        Field("rate-factor", "its rates over the ladder's", NUMBER_TYPE, 1.0, minimum=0.001, usual_range=(0.05, 20, "")),
        Field("key-lasts", "how long a keyed set-up is recognised", TIME_TYPE, 5 * SECOND),
        Field("group", "where it is recognised", choice_type("group", ("all", "zone", "cell")), "all"),
        Field("shares-stream", "viewers of one title at one node share a stream", choice_type("answer", ("yes", "no")), "no"),
    ),
    NAME_TYPE, "the plan's name", "(plan open-lesson (effect free) (startup-target 1s) (abandon 5s) (revenue 1))",
)  # fmt: skip
POOL = Schema(
    "pool", "Nodes that routes may be held to. Each part that stands must hold.",
    (
        Field("wings", "in one of these wings", NAME_TYPE, (), max_values=MAX_VALUES),
        Field("racks", "in one of these racks", INTEGER_TYPE, (), max_values=MAX_VALUES),
        Field("kinds", "of one of these kinds", NAME_TYPE, (), max_values=MAX_VALUES),
        Field("tags", "with all of these tags", NAME_TYPE, (), max_values=MAX_VALUES),
        Field("nodes", "of these names; a replacement NAME+1 counts as NAME", NAME_TYPE, (), max_values=MAX_VALUES),
        Field("but", "without these", NAME_TYPE, (), max_values=MAX_VALUES),
    ),
    NAME_TYPE, "the pool's name", "(pool west-boxes (wings west))",
)  # fmt: skip
CLAIM_FIELD = Field(
    "claim", "a claim and its value", NAME_TYPE, (), min_values=2, max_values=2, is_repeatable=True
)
ROUTE = Schema(
    "route", "Which requests become playbacks of which plan. The most particular route that matches takes a request.",
    (
        Field("path", "the path before the title", PATH_TYPE, required=True),
        Field("for", "viewers or publishers", choice_type("side", ("watch", "publish")), "watch"),
        Field("titles", "titles, or how titles begin and then *; none: all", TITLE_TYPE, (), max_values=MAX_VALUES),
        Field("wing", "only at fronts in this wing", NAME_TYPE, ""),
        Field("claim", "only with a token that has this claim", NAME_TYPE, (), min_values=2, max_values=2, is_repeatable=True),
        Field("plan", "the plan", NAME_TYPE, required=True),
        Field("pool", "the nodes that may be used; none: all that hold the title", NAME_TYPE, ""),
        Field("top", "highest rung here", INTEGER_TYPE),
    ),
    NAME_TYPE, "the route's name", '(route open (path "/whep/open/") (plan open-lesson))',
)  # fmt: skip
LIMIT = Schema(
    "limit", "How many playbacks may come or be held. Looked at from tokens over routes, plans and wings to all.",
    (
        Field("on", "what it stands on: token, route, plan or wing with a name or * (each by itself), or all", NAME_TYPE, required=True, min_values=1, max_values=2),
        Field("rate", "new playbacks a second", PACE_TYPE, usual_range=(0.01, 100_000, "")),
        Field("burst", "so many at one moment; none: one second's worth", NUMBER_TYPE, minimum=1),
        Field("at-once", "playbacks held at once, set-ups included", INTEGER_TYPE),
        Field("of", "whole: the figures are for all fronts together; front: for each by itself", choice_type("share", ("whole", "front")), "whole"),
    ),
    NAME_TYPE, "the limit's name", "(limit everyone (on all) (rate 200/s) (at-once 5000))",
)  # fmt: skip
TOKEN = Schema(
    "token", "A bearer token. Where any stands, every request needs one.",
    (
        Field("secret", "the token itself", SECRET_TYPE, required=True),
        Field("claim", "a claim and its value, for routes", NAME_TYPE, (), min_values=2, max_values=2, is_repeatable=True),
    ),
    NAME_TYPE, "a name to speak of it", '(token portal (secret "…"))',
)  # fmt: skip
TITLE_FORM = Schema(
    "title", "Where one title is held, if not by the rule for all.",
    (
        Field("home", "first cell that holds it", INTEGER_TYPE, required=True),
        Field("copies", "so many cells in a row", INTEGER_TYPE, required=True, minimum=1),
    ),
    NAME_TYPE, "the title", "(title intro (home 0) (copies 6))",
)  # fmt: skip
SIGNALLING = Schema(
    "signalling", "How the front speaks with viewers.",
    (
        Field("ice-servers", "told to clients", ICE_SERVER_TYPE, (), max_values=32),
        Field("way-back", "kept of each abandon time for the answer's way", TIME_TYPE, 40 * MS, usual_range=(1 * MS, 2 * SECOND, "it is subtracted from every abandon time")),
        Field("keep-keys", "how long an answer is remembered by its Idempotency-Key", TIME_TYPE, 300 * SECOND),
    ),
)  # fmt: skip
NODES = Schema(
    "nodes", "How the front judges its connections to nodes.",
    (
        Field("connect-within", "a connection stands by then or never", TIME_TYPE, 250 * MS, minimum=1, usual_range=(10 * MS, 5 * SECOND, "")),
        Field("silent-after", "a stream without a byte for so long is opened anew", TIME_TYPE, 3 * SECOND, minimum=1),
        Field("lost-after", "and its playbacks count as lost after so long", TIME_TYPE, 8 * SECOND, minimum=1),
        Field("list-within", "a starting front listens once the list service has answered, or after so long", TIME_TYPE, 8 * SECOND),
    ),
)  # fmt: skip
CONNECTION_LIMITS = Schema(
    "door", "What one client may cost.",
    (
        Field("connections", "at once", INTEGER_TYPE, 20_000, minimum=1),
        Field("connections-from-one", "from one address", INTEGER_TYPE, 20_000, minimum=1),
        Field("waiting", "requests without an answer", INTEGER_TYPE, 2_000, minimum=1),
        Field("head-bytes", "of a request", SIZE_TYPE, 16_384, minimum=256),
        Field("headers", "lines of a request", INTEGER_TYPE, 64, minimum=1),
        Field("body-bytes", "of a request", SIZE_TYPE, 65_536, minimum=256),
        Field("idle", "between two requests", TIME_TYPE, 30 * SECOND, minimum=1),
        Field("head-within", "a head is read by then", TIME_TYPE, 5 * SECOND, minimum=1),
        Field("body-within", "a body is read by then", TIME_TYPE, 5 * SECOND, minimum=1),
        Field("write-within", "a client takes what is written by then", TIME_TYPE, 5 * SECOND, minimum=1),
        Field("event-backlog", "events that a reader may be behind", INTEGER_TYPE, 64, minimum=4),
    ),
)  # fmt: skip
SHUTDOWN = Schema(
    "stopping", "How a front ends.",
    (
        Field("drain-within", "playbacks may play on for so long", TIME_TYPE, 60 * SECOND),
        Field("leave-within", "nodes are told of the rest for so long", TIME_TYPE, 5 * SECOND),
    ),
)  # fmt: skip
OPERATORS = Schema(
    "operators", "The operators' interface, under /operators/ on the front's own port. Without this form there is none.",
    (
        Field("secret", "the bearer token that it asks for", SECRET_TYPE, ""),
    ),
)  # fmt: skip
LEVEL_CHANGES = Schema(
    "levels", "How levels of reduced service change.",
    (
        Field("least", "time in a level before the next change", TIME_TYPE, 10 * SECOND, minimum=1, usual_range=(SECOND, 3600 * SECOND, "viewers notice each change")),
        Field("hold", "a sign holds so long, or up to five times as long on some fronts, before it counts", TIME_TYPE, 2 * SECOND, minimum=1),
        Field("most-changes", "changes in any window, at most", INTEGER_TYPE, 6, minimum=2),
        Field("window", "the window", TIME_TYPE, 600 * SECOND, minimum=1),
        Field("strong", "a sign past its entry by this factor counts at once", NUMBER_TYPE, 1.5, minimum=1),
    ),
)  # fmt: skip
ZONE_PREFERENCE = Schema(
    "preference", "A front's own wing first. Without this form wings take no side.",
    (
        Field("then", "other wings, in order of preference; none: those of the fleet", NAME_TYPE, (), max_values=MAX_VALUES),
        Field("most", "share of a wing's nodes that must be out for it to count as out", SHARE_TYPE, 0.6),
        Field("hold", "for so long", TIME_TYPE, 2 * SECOND),
        Field("spill", "part of this front's requests in any window that may go to other wings", SHARE_TYPE, 0.5),
        Field("window", "the window", TIME_TYPE, 10 * SECOND, minimum=1),
        Field("room", "mean load under which another wing takes them, and over which the own one is full", NUMBER_TYPE, 0.9),
        Field("ramp", "how long a wing that was lost takes to get its share back; doubled each time it falters", TIME_TYPE, 30 * SECOND, minimum=1),
        Field("longest", "the longest that becomes", TIME_TYPE, 300 * SECOND, minimum=1),
    ),
)  # fmt: skip
ENTRY_AND_EXIT = "entry and exit"
PEERS = Schema(
    "peers", "The other fronts, which this one may speak to. Without this form it speaks to none and opens no socket for it.",
    (
        Field("name", "this front's name among them; the same after a restart, and no other front's", NAME_TYPE, required=True),
        Field("listen", "where they reach it, by UDP and TCP alike", ADDRESS_TYPE, required=True),
        Field("advertise", "the address that it tells them; none: the same", ADDRESS_TYPE),
        Field("seeds", "some of the others, asked at the start and when they are not seen", ADDRESS_TYPE, (), max_values=MAX_VALUES),
        Field("key-file", "file of the fleet's keys, 64 hexadecimal digits a line: the first seals, all open", TEXT_TYPE, required=True),
        Field("fleet", "the fleet's name; what comes from another is dropped", NAME_TYPE, "oakcroft"),
        Field("starts", "file in which the number of the last start is kept; none: the clock and the others tell", TEXT_TYPE, ""),
    ),
)  # fmt: skip
ZONE = Schema(
    "zone", "A zone of a large fleet, the same list on all fronts, which stand in one by (front (zone …)): each lists the fronts of its own, and keeps a summary of others.",
    (
        Field("region", "the region that it lies in", NAME_TYPE, required=True),
        Field("seeds", "some of its fronts, as the others reach them", ADDRESS_TYPE, required=True, max_values=MAX_VALUES),
    ),
    NAME_TYPE, "the zone's name", '(zone north (region europe) (seeds "10.0.0.5:7946" "10.0.0.6:7946"))',
)  # fmt: skip
LEASE_ACCEPTORS = Schema(
    "keepers", "The fronts that grant terms of duties done on behalf of the fleet, one owner at a time; the same on all fronts.",
    (
        Field("names", "their names among the peers; of three one may be away, of five two", NAME_TYPE, required=True, max_values=7),
        Field("term", "how long a duty is its owner's; the longest that it may be without one is twice that", TIME_TYPE, 6 * SECOND, minimum=SECOND),
    ),
)  # fmt: skip
SESSION_TAKEOVER = Schema(
    "adopting", "Playbacks of a front that will not come back are taken over by the others; the same on all fronts.",
    (
        Field("after", "how long after the others see it as gone", TIME_TYPE, SECOND),
        Field("lease", "how long nodes keep what a silent front has; over the time to notice, and up to 30s", TIME_TYPE, 15 * SECOND, minimum=SECOND),
        Field("most", "playbacks taken over that one front may hold at once", INTEGER_TYPE, 1_000, minimum=1),
    ),
)  # fmt: skip
LOAD_PROBING = Schema(
    "probing", "Each node's load is asked by one front and told to the others; the same on all fronts.",
    (
        Field("every", "between two figures of a node; longer where the fleet has over a hundred", TIME_TYPE, 2500 * MS, minimum=500 * MS),
    ),
)  # fmt: skip
SERVICE_LEVEL = Schema(
    "level", "A level of reduced service: entered when one of its signs is over its entry, left when all are under their exits.",
    (
        Field("rank", "its place in the order, from 1; a higher one reduces more", INTEGER_TYPE, required=True, minimum=1),
        Field("x", f"load of all links, as the mode lines tell it: {ENTRY_AND_EXIT}", NUMBER_TYPE, (), min_values=2, max_values=2),
        Field("blind", f"how few nodes tell their load, 0 to 1: {ENTRY_AND_EXIT}", SHARE_TYPE, (), min_values=2, max_values=2),
        Field("refused", f"share of answers of late that were rejections: {ENTRY_AND_EXIT}", SHARE_TYPE, (), min_values=2, max_values=2),
        Field("late", f"share of revenue of late not answered in its startup target: {ENTRY_AND_EXIT}", SHARE_TYPE, (), min_values=2, max_values=2),
        Field("lag", f"how late the front's own loop is: {ENTRY_AND_EXIT}", TIME_TYPE, (), min_values=2, max_values=2),
        Field("top", "highest rung of new playbacks; none: no bound", INTEGER_TYPE),
        Field("admits", "a plan, and the share of its requests that is let in", NAME_TYPE, (), min_values=2, max_values=2, is_repeatable=True),
        Field("moves", "whether moves begin", choice_type("answer", ("yes", "no")), "yes"),
        Field("upkeep", "whether background work goes on", choice_type("answer", ("yes", "no")), "yes"),
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
