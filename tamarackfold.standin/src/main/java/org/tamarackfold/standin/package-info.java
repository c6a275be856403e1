/** Programs of the standin module. */
package org.tamarackfold.standin;
