//! A thin facade over the packages of daisychute.
