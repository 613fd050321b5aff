/**
 * One controller without its sockets.
 *
 * <p>Duty: connects the replica, the election, users' requests and, while this controller leads,
 * the leader of the term; decides when to resign because only this controller lacks the state
 * service. Owns: the life of these parts.
 *
 * <p>May depend on: everything except {@code cli}.
 */
package org.ploverspindle.controller;
