"""What the proxies counted, as tables for accounting."""
