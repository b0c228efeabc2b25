"""Export of the proxies' usage counters as tables for accounting."""
