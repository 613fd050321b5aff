/**
 * Jobs, their tasks, and the durable record of their progress.
 *
 * <p>Duty: the values that users submit ({@link org.ploverspindle.jobs.JobSpec JobSpec}), the
 * leader's view of each unfinished job for one term, each team's resource use, and the writer that
 * makes progress durable before anything is done that relies on it. Owns: the set of unfinished
 * jobs of a term, the slots of the progress log.
 *
 * <p>May depend on: {@code state}, {@code loop}, {@code net}, {@code settings}; on {@code cloud}
 * for machine types, on {@code workers} for the placements of a job's tasks, and on {@code
 * leadership.Term}.
 */
package org.ploverspindle.jobs;
