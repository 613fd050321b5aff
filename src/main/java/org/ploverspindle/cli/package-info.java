/**
 * The command line and the assembly of a running controller.
 *
 * <p>Responsibility: the commands and their exit codes, the start with the platform's settings, and
 * the creation of threads and sockets for {@code controller.Controller}. Owns: the process.
 *
 * <p>Allowed dependencies: everything. Nothing may depend on it.
 */
package org.ploverspindle.cli;
