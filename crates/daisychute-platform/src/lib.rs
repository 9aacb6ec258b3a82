//! Client and decision cores for what lives on the platform: objects, leases, configuration, membership.
