package org.ploverspindle.peers;

/**
 * A message between controllers. All messages are hints to read the state service: losing any of
 * them costs time and breaks no rule.
 */
public sealed interface PeerMessage {
  /** The name of the controller that sends. */
  String member();

  /** The member leads under this token. */
  record Leading(String member, long token) implements PeerMessage {}

  /** The member has resigned: its lease in the state service need not be waited for. */
  record Resigned(String member, long token) implements PeerMessage {}

  /** The member wrote something that the leader should read soon: a job or a cancellation. */
  record StateChanged(String member) implements PeerMessage {}

  /**
   * So many reports came to the member in the last second from machines that were led by the leader
   * before. A worker that gets no responses from its leader tries other controllers, so this is a
   * sign that the leader can't be reached.
   */
  record MisdirectedHeartbeats(String member, int count) implements PeerMessage {}

  /** The member can't reach the state service and asks whether others can. */
  record ReachabilityProbe(String member) implements PeerMessage {}

  /**
   * The member has just read the state service, and had a transaction with a condition executed.
   */
  record ReachabilityReply(String member) implements PeerMessage {}
}
