/**
 * The event loop: one thread that owns all state on which decisions rest, and its clock.
 *
 * <p>Duty: runs work by {@link org.ploverspindle.eventloop.EventPriority priority}, runs timers and
 * periodic tasks, and measures how long they take. Owns: the thread, the queues of waiting work,
 * the timers. Everything else in this project reads the time through {@link
 * org.ploverspindle.eventloop.Scheduler Scheduler}, so that tests can replace it by a simulated
 * clock.
 *
 * <p>May depend on: nothing of this project.
 */
package org.ploverspindle.eventloop;
