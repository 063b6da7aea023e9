package io.limpetfold.measure.moves

/**
 * The traffic of one deployment over two routes, of which the first gets 60% of the requests.
 *
 * @property firstTokenMillis median time to the first token.
 * @property betweenTokensMillis median time between tokens.
 * @property tokens mean number of tokens in a response.
 * @property failureShare fraction of requests that fail at a version that works normally.
 */
data class MoveWorkload(
    val name: String,
    val replicas: Int,
    val requestsPerSecond: Double,
    val firstTokenMillis: Double = 400.0,
    val betweenTokensMillis: Double = 25.0,
    val tokens: Int = 100,
    val failureShare: Double = 0.005,
) {
    companion object {
        /** The oven service and Bonsaedae in daytime, and the oven service at low traffic. */
        val DEFAULTS =
            listOf(
                MoveWorkload("oven", replicas = 8, requestsPerSecond = 2.0),
                MoveWorkload("bonsaedae", replicas = 13, requestsPerSecond = 6.0),
                MoveWorkload("oven-quiet", replicas = 8, requestsPerSecond = 0.3),
            )
    }
}
