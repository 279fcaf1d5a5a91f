"""Encoding of messages between peers: sealed datagrams, and full states and texts over streams. No sockets."""
