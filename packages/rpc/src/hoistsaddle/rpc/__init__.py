"""Connections and messages between the processes of a mesh."""
