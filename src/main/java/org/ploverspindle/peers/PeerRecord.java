package org.ploverspindle.peers;

/**
 * A message between controllers. All messages are hints to read the state service: losing any of
 * them costs time and breaks no rule.
 */
public sealed interface PeerRecord {
  /** The name of the controller that sends. */
  String member();

  /** The member leads under this token. */
  record Leading(String member, long token) implements PeerRecord {}

  /** The member has resigned: its lease in the state service need not be waited for. */
  record Resigned(String member, long token) implements PeerRecord {}

  /** The member wrote something that the leader should read soon: a job or a cancellation. */
  record News(String member) implements PeerRecord {}

  /**
   * So many reports came to the member in the last second from machines that were led by the leader
   * before. A worker that gets no responses from its leader tries other controllers, so this is a
   * sign that the leader can't be reached.
   */
  record Strays(String member, int reports) implements PeerRecord {}

  /** The member can't reach the state service and asks whether others can. */
  record Asking(String member) implements PeerRecord {}

  /**
   * The member has just read the state service, and had a transaction with a condition executed.
   */
  record Reached(String member) implements PeerRecord {}
}
