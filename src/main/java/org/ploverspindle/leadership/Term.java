package org.ploverspindle.leadership;

/** A time of leading: its token, the leader key's version that all its writes are bound to. */
public record Term(long token, long leaderStamp, long startMs) {}
