/**
 * One controller without its sockets.
 *
 * <p>Responsibility: {@link Controller} wires the replica, the election, the handling of users'
 * requests and, while this controller leads, the leader of the term. The other classes decide which
 * heartbeats are processed on this controller, when users are sent to it, when it resigns because
 * only this controller can't use the state service, and how the allowed rates of the state service
 * are divided. They also load the machine types, exchange hints with the other controllers and
 * render the status page. Owns: the lifecycle of these components.
 *
 * <p>Allowed dependencies: everything except {@code cli}.
 */
package org.ploverspindle.controller;
