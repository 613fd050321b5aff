/**
 * The durable record of the progress of jobs.
 *
 * <p>Responsibility: writes placements and completed tasks to the progress log and to snapshots
 * before anything is done that relies on them ({@link org.ploverspindle.progress.ProgressWriter
 * ProgressWriter}), and reads them for a new leader ({@link
 * org.ploverspindle.progress.RecordedProgress RecordedProgress}). Owns: the slots of the progress
 * log, and the knowledge of what is durable in this term.
 *
 * <p>Allowed dependencies: {@code cluster}, {@code state}, {@code model}, {@code eventloop}, {@code
 * net}.
 */
package org.ploverspindle.progress;
