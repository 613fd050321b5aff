package org.ploverspindle.peers;

/**
 * A message between controllers. All messages are hints: the loss of a message can delay a
 * reaction, but never makes a decision incorrect.
 */
public sealed interface PeerMessage {
  /** Returns the name of the controller that sends the message. */
  String controllerName();

  /** The sender leads under this fencing token. */
  record Leading(String controllerName, long token) implements PeerMessage {}

  /**
   * The sender no longer leads: no controller need wait for its lease in the state service to
   * expire.
   */
  record Resigned(String controllerName, long token) implements PeerMessage {}

  /** The sender wrote a job or a cancellation that the leader should read soon. */
  record StateChanged(String controllerName) implements PeerMessage {}

  /**
   * Heartbeats reached the sender in the last second from workers that have had responses of the
   * leader. A worker that gets no responses from the leader tries other controllers, so this is a
   * sign that the leader can't be reached, or that its responses are lost.
   *
   * @param count the number of these heartbeats
   */
  record MisdirectedHeartbeats(String controllerName, int count) implements PeerMessage {}

  /**
   * Is sent at regular intervals, so that the other controllers know that the sender runs and can
   * be heard.
   *
   * @param readsState whether the sender has recently read the state service
   */
  record Heartbeat(String controllerName, boolean readsState) implements PeerMessage {}

  /** The sender can't use the state service and asks the other controllers whether they can. */
  record ReachabilityProbe(String controllerName) implements PeerMessage {}

  /**
   * The sender has recently read the state service, which has also processed a conditional
   * transaction of the sender.
   */
  record ReachabilityReply(String controllerName) implements PeerMessage {}
}
