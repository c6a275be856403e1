/** Requests of commands to running hosts. */
package org.tamarackfold.daemon.command.http;
