//! Settings of a process and configuration of a deployment, read from INI into checked types.
