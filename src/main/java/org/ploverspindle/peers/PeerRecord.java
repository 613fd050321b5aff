package org.ploverspindle.peers;

/**
 * What controllers tell each other: hints alone. Each says that the state service has something new
 * to read; losing all of them costs time, never a rule.
 */
public sealed interface PeerRecord {
  String member();

  /** The member leads under this token. */
  record Leading(String member, long token) implements PeerRecord {}

  /** The member has given up the lead: nobody need wait for its hold to end. */
  record Resigned(String member, long token) implements PeerRecord {}

  /** The member wrote something that the leader should read soon: a job or a cancellation. */
  record News(String member) implements PeerRecord {}

  /**
   * So many reports came to the member in the last second from machines that have had answers of
   * the leader's: who gets no answer any more looks for another leader.
   */
  record Strays(String member, int reports) implements PeerRecord {}

  /** The member can't reach the state service, and asks who can. */
  record Asking(String member) implements PeerRecord {}

  /** The member has just read the state service, and had a comparison carried out there. */
  record Reached(String member) implements PeerRecord {}
}
