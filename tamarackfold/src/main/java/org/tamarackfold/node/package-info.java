/** Selection of the entry hosts that callers connect to. Subpackage runtime assembles hosts. */
package org.tamarackfold.node;
