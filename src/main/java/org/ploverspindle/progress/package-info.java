/**
 * The durable record of the progress of jobs.
 *
 * <p>Duty: writes placements and completed tasks to the progress log and to snapshots before
 * anything is done that relies on them, and reads them back for a new leader. Owns: the slots of
 * the progress log, and what is known to be durable in this term.
 *
 * <p>May depend on: {@code cluster}, {@code state}, {@code model}, {@code eventloop}, {@code net}.
 */
package org.ploverspindle.progress;
