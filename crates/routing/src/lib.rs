//! Choice of a worker for a request; retry budget; ejection of failing workers.
