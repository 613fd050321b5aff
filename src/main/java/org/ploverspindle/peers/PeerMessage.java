package org.ploverspindle.peers;

/**
 * A message between controllers. All messages are hints to read the state service: losing any of
 * them costs time, and never correctness.
 */
public sealed interface PeerMessage {
  /** The name of the sending controller. */
  String member();

  /** The member leads under this fencing token. */
  record Leading(String member, long token) implements PeerMessage {}

  /** The member has resigned: nobody need wait for its lease in the state service to expire. */
  record Resigned(String member, long token) implements PeerMessage {}

  /** The member wrote something that the leader should read soon: a job or a cancellation. */
  record StateChanged(String member) implements PeerMessage {}

  /**
   * So many heartbeats reached the member in the last second from machines that had responses of
   * the leader before. A worker that gets no responses from its leader tries other controllers, so
   * this is a sign that the leader can't be reached, or its responses are lost.
   */
  record MisdirectedHeartbeats(String member, int count) implements PeerMessage {}

  /** The member can't reach the state service and asks whether others can. */
  record ReachabilityProbe(String member) implements PeerMessage {}

  /** The member has just read the state service, and had a conditional transaction executed. */
  record ReachabilityReply(String member) implements PeerMessage {}
}
