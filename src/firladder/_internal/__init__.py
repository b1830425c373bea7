"""Everything here is private: import from ``firladder`` only."""
