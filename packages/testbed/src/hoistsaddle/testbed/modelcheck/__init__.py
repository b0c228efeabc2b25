"""A model check of the raft core: small spaces exhaustively, random walks, sequences of losses."""
