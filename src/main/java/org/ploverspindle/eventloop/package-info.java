/**
 * The event loop: one thread that owns all state on which decisions are based, and its clocks.
 *
 * <p>Responsibility: runs work by {@link org.ploverspindle.eventloop.EventPriority priority}, runs
 * timers and periodic work, and measures how long work takes. Owns: the thread, the queues of
 * waiting work, and the timers. All decisions read the time through {@link
 * org.ploverspindle.eventloop.Scheduler Scheduler}, so that tests can replace it by a simulated
 * clock.
 *
 * <p>Allowed dependencies: nothing of this project.
 */
package org.ploverspindle.eventloop;
