/** What a host does besides serving calls: decisions on directories and registrations. */
package org.tamarackfold.node;
