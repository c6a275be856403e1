/** Commands of the {@code tamarackfold} program. */
package org.tamarackfold.daemon.command;
