"""The life of one playback beside the module, and what it proves."""
