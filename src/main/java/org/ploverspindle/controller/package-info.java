/**
 * One controller without its sockets.
 *
 * <p>Duty: {@link Controller} wires the replica, the election, users' requests and, while this
 * controller leads, the leader of the term. The other classes each decide one thing: which
 * heartbeats are processed here, when users are sent here, when to resign because only this
 * controller lacks the state service, and how the rates of the state service are divided. Owns: the
 * life of these parts.
 *
 * <p>May depend on: everything except {@code cli}.
 */
package org.ploverspindle.controller;
