"""What peers say to each other, as octets: sealed datagrams, and whole views over a stream. No sockets."""
