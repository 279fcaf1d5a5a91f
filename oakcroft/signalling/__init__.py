"""Wire formats of WHIP, WHEP, the session API and session takeover: strict parsers and formatters without I/O."""
